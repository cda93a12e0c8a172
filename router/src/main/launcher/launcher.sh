#!/bin/sh
# SIGHUP would end the Java runtime before its program can handle the signal. The settings file is watched instead.
trap '' HUP
exec java ${MAGNOLIASEAM_JAVA_OPTS:--Xms32m -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto} -jar "$0" "$@"
