#!/bin/sh
# Puts the libraries and the project's own packages under target/deps, with the
# core of the packet service compiled if there is a C compiler.
set -eu
deps=target/deps
tools=target/tools
core=target/core

install() {
    if [ ! -e "$1/.installed" ] || [ "$2" -nt "$1/.installed" ]; then
        python3 -m pip install -q --disable-pip-version-check -U --target "$1" -r "$2"
        touch "$1/.installed"
    fi
}

# Compiled once per state of the sources; it takes half a minute.
compile() {
    sources=packages/zinniahook-core
    state=$(find $sources/src $sources/setup.py deploy/build-requirements.txt \
        -name '*.py' -o -name '*.txt' | LC_ALL=C sort | xargs cat | sha256sum)
    [ "$(cat $core/.state 2>/dev/null || true)" = "$state" ] && return
    rm -rf $core
    cp -r $sources $core
    (cd $core && PYTHONPATH=../tools MYPYPATH=../deps ZINNIAHOOK_COMPILE=1 \
        python3 setup.py -q build_ext --inplace)
    echo "$state" > $core/.state
}

install $deps deploy/requirements.txt
rm -rf $deps/zinniahook_core $deps/zinniahook_daemon $deps/zinniahook_platform
rm -f $deps/*__mypyc*.so
if command -v "${CC:-cc}" > /dev/null; then
    install $tools deploy/build-requirements.txt
    compile
    cp -r $core/src/zinniahook_core $core/src/*__mypyc*.so $deps/
else
    echo "no C compiler: the core runs as plain Python, at 1.6 times the cost" >&2
    cp -r packages/zinniahook-core/src/zinniahook_core $deps/
fi
cp -r packages/zinniahook-daemon/src/zinniahook_daemon \
    platform/src/zinniahook_platform $deps/
# A process can't write there; without compiled files each start would compile.
python3 -m compileall -q $deps
