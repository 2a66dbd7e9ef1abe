import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages over plain sockets. */
final class Wire {
    private Wire() {}

    /** A message: its first line, its fields by lower-case name, and its body. */
    record Message(String start, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(start.split(" ", 3)[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Serves one connection; the connection closes when it returns. */
    interface ConnectionHandler {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Accepts connections on {@code ip}, each on a thread of its own. */
    static ServerSocket listen(String ip, int port, ConnectionHandler handler) throws IOException {
        ServerSocket listener = new ServerSocket(port, 1024, InetAddress.getByName(ip));
        Thread.ofVirtual().start(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Thread.ofVirtual().start(() -> {
                        try (socket) {
                            handler.serve(
                                    socket,
                                    new BufferedInputStream(socket.getInputStream()),
                                    socket.getOutputStream());
                        } catch (Exception e) {
                            // The peer closed or reset the connection.
                        }
                    });
                } catch (IOException e) {
                    if (!listener.isClosed()) {
                        e.printStackTrace();
                    }
                }
            }
        });
        return listener;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                Math.min(timeoutMs, 1000));
        return socket;
    }

    /** Reads a line without its end; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("input ended within a line");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Reads the head of a message; null if the connection ended before it. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Message(start, fields, new byte[0]);
    }

    /** Reads a whole message; null if the connection ended before it. */
    static Message message(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("input ended before the last chunk");
                }
                int length = Integer.parseInt(size.strip(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length) {
                    throw new EOFException("input ended within a chunk");
                }
                body.writeBytes(chunk);
                line(in);
                if (length == 0) {
                    break;
                }
            }
        } else if (!head.field("content-length").isEmpty()) {
            int length = Integer.parseInt(head.field("content-length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("input ended within the body");
            }
            body.writeBytes(bytes);
        }
        return new Message(head.start(), head.fields(), body.toByteArray());
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream(head.length() + body.length);
        message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        message.writeTo(out);
        out.flush();
    }
}
