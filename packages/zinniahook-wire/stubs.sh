#!/bin/sh
# Generate the committed protobuf and gRPC stubs.
#
# Stubs only load in protobuf releases that are at least as new as their
# generator. The generator is therefore pinned, in a separate venv, to the lower
# bound that pyproject.toml declares. The newest generator would require the
# newest protobuf.
set -e
cd "$(dirname "$0")"
venv=${STUBS_VENV:-../../build/stubs-venv}
out=src/zinniahook_wire
if [ ! -x "$venv/bin/protoc-gen-grpclib_python" ]; then
    python3 -m venv "$venv"
    "$venv/bin/pip" install --quiet --disable-pip-version-check \
        "grpcio-tools==1.74.*" "protobuf==6.31.*" "grpclib==0.4.9" "setuptools<81"
fi
PATH="$venv/bin:$PATH"
python -m grpc_tools.protoc -I proto --python_out=$out proto/peers.proto
python -m grpc_tools.protoc -I proto --python_out=$out --grpclib_python_out=$out \
    proto/control.proto
# The plugin writes imports for a top-level module.
sed -i 's/^import \(.*_pb2\)$/from . import \1/' $out/control_grpc.py
