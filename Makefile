# The two commands that README.md describes, and the targets they need.
BUILD := build
PACKAGES := g++ cmake ninja-build ccache lld curl xxhash \
  clang-format clang-tidy \
  libboost-fiber1.81-dev libboost-context1.81-dev libboost-json1.81-dev \
  libboost-test1.81-dev libthrift-dev thrift-compiler libtclap-dev \
  liblog4cplus-dev libabsl-dev libyaml-cpp-dev libxxhash-dev zlib1g-dev

.PHONY: packages build demo test protocol format

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -qq && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
	  --no-install-recommends $(PACKAGES) >/dev/null; }

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD) --quiet

demo: build
	@demo/demo.sh $(BUILD) demo-run

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

protocol:
	cd protocol && thrift --gen cpp:no_skeleton,moveable_types \
	  -out generated plantaindale.thrift

format:
	@git ls-files '*.cc' '*.h' | grep -v generated | \
	  xargs clang-format -i --style=file
