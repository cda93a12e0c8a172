package stand2;

import java.util.ArrayList;
import java.util.List;

/** Writes configurations as the users' pages describe them. */
final class Config2 {

    static final String HOST_NAME = "ledger.example";

    private final List<String> mRoutes = new ArrayList<>();

    private final List<String> mTenants = new ArrayList<>();

    Config2 route(String name, String prefix, String kind, int timeoutMillis) {
        mRoutes.add("{\"name\":\"" + name + "\",\"host\":\"" + HOST_NAME + "\",\"prefix\":\"" + prefix
                + "\",\"service\":\"bale-ledger\",\"kind\":\"" + kind + "\",\"max_attempts\":2,\"timeout_ms\":"
                + timeoutMillis + ",\"target_latency_ms\":100,\"priority\":2}");
        return this;
    }

    Config2 tenant(String name, String... keys) {
        mTenants.add("{\"name\":\"" + name + "\",\"api_keys\":[\"" + String.join("\",\"", keys) + "\"]}");
        return this;
    }

    String json(int version) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", mRoutes)
                + "],\"services\":[{\"name\":\"bale-ledger\",\"health_path\":\"/health\",\"max_connections\":110}],"
                + "\"tenants\":[" + String.join(",", mTenants) + "],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\"idle_timeout_ms\":15000}}";
    }
}
