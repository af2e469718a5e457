// Exports the room of the local backend server in the Prometheus text format.
//
//   std::string text = RoomToPrometheus(executor.Room(), capacity);
#pragma once

#include <string>

#include "plantaindale/limits/server_room.h"

namespace plantaindale {

// `aCapacity` as by room_tracker::Capacity. Empty if the room is unknown.
std::string
RoomToPrometheus(const server_room& aRoom, double aCapacity);

} // namespace plantaindale
