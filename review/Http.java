import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import java.util.TreeMap;

/** The little HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** A request line or status line with its header fields; their names ignore case. */
    record Head(String line, Map<String, String> fields) {
        String target() {
            return line.split(" ")[1];
        }

        String method() {
            return line.split(" ")[0];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    /** Returns null if the connection ends before a first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String field = readLine(in); !"".equals(field); field = readLine(in)) {
            if (field == null) {
                throw new IOException("the head is cut");
            }
            int colon = field.indexOf(':');
            fields.put(field.substring(0, colon).strip(), field.substring(colon + 1).strip());
        }
        return new Head(line, fields);
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new IOException("the line is cut");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    /** Reads a body that has a length or comes in chunks. Fails if it is cut. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("the body is cut");
                }
                int length = Integer.parseInt(size.strip(), 16);
                body.writeBytes(exactly(in, length));
                if (!"".equals(readLine(in))) {
                    throw new IOException("malformed chunk");
                }
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.field("Content-Length");
        return exactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the body is cut");
        }
        return bytes;
    }
}
