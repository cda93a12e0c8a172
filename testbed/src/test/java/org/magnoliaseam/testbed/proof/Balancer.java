package org.magnoliaseam.testbed.proof;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import org.magnoliaseam.testbed.harness.EntryVm;

/** Checks the readiness of an entry VM as a load balancer with a short timeout does. */
final class Balancer {

    private static final int TIMEOUT_MILLIS = 500;

    private Balancer() {}

    static boolean ready(EntryVm entry) {
        try {
            URI page = URI.create("http://" + entry.operators() + "/readyz");
            HttpURLConnection connection = (HttpURLConnection) page.toURL().openConnection();
            connection.setConnectTimeout(TIMEOUT_MILLIS);
            connection.setReadTimeout(TIMEOUT_MILLIS);
            boolean ready = connection.getResponseCode() == HttpURLConnection.HTTP_OK;
            connection.disconnect();
            return ready;
        } catch (IOException e) {
            return false;
        }
    }
}
