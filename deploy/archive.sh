#!/usr/bin/env bash
# Writes an archive of loaded classes, which shortens the start of a process. A missing archive costs only time.
set -uo pipefail
cd "$(dirname "$0")/.."
jar=router/target/magnoliaseam-router-0.1.0-all.jar
archive=router/target/magnoliaseam.jsa
settings=router/target/archive-settings.toml
port=$((20000 + RANDOM % 20000))
cat > "$settings" <<END
vm = "archive"
failure-domain = "none"
callers-address = "127.0.0.1:$port"
readiness-address = "127.0.0.1:$((port + 1))"
operators-address = "127.0.0.1:$((port + 2))"
peers-address = "127.0.0.1:$((port + 3))"
store-address = "127.0.0.1:$((port + 1))"
stop-grace = "1 s"
END
java -XX:ArchiveClassesAtExit="$archive" -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -jar "$jar" route --publisher store --settings "$settings" > router/target/archive.log 2>&1 &
pid=$!
for _ in $(seq 100); do
    sleep 0.1
    if exec 3<>"/dev/tcp/127.0.0.1/$port"; then
        printf 'POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}' >&3
        cat <&3 > /dev/null
        exec 3>&-
        break
    fi 2> /dev/null
done
kill -TERM "$pid"
wait "$pid"
exit 0
