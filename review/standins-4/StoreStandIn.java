import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store, as far as nodes use it: linearizable, loses nothing. */
final class StoreStandIn implements AutoCloseable {
    private static final Pattern EXPECT =
            Pattern.compile("\\{\"key\":\"([^\"]*)\",\"rev\":(\\d+)\\}");
    private static final Pattern PUT =
            Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":\\d+\\}");

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;

    private record Item(String key, String value, long created, long rev) {
        String json() {
            return "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%d,\"created_rev\":%d,\"lease\":0}"
                    .formatted(key, value, rev, created);
        }
    }

    private record Change(String key, long rev, String json) {}

    StoreStandIn(String ip) throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    synchronized void put(String key, String text) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            String json = "{\"key\":\"%s\",\"rev\":%d,\"deleted\":true}".formatted(key, revision);
            history.add(new Change(key, revision, json));
            notifyAll();
        }
    }

    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void write(String key, String value) {
        Item before = items.get(key);
        Item item = new Item(key, value, before == null ? revision : before.created(), revision);
        items.put(key, item);
        history.add(new Change(key, revision, item.json()));
        notifyAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            for (Http.Message call = Http.readRequest(in);
                    call != null;
                    call = Http.readRequest(in)) {
                socket.getOutputStream().write(answer(call));
            }
        } catch (IOException e) {
            // The node closed the channel.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] answer(Http.Message call) throws InterruptedException {
        String target = call.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return switch (path) {
            case "/-/kv-key" -> key(query.get("key"));
            case "/-/kv-range" -> range(query.getOrDefault("path_prefix", ""));
            case "/-/kv-watch" ->
                    watch(
                            query.getOrDefault("path_prefix", ""),
                            Long.parseLong(query.get("after")),
                            Long.parseLong(query.get("wait_ms")));
            case "/-/kv-txn" -> commit(new String(call.body, StandardCharsets.UTF_8));
            default -> reply(404, "{}");
        };
    }

    private synchronized byte[] key(String key) {
        Item item = items.get(key);
        return item == null
                ? reply(404, "{}")
                : reply(
                        200,
                        item.json().replaceFirst("\\{", "{\"store_revision\":" + revision + ","));
    }

    private synchronized byte[] range(String prefix) {
        List<String> found = new ArrayList<>();
        items.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .forEach(item -> found.add(item.json()));
        return reply(
                200,
                "{\"items\":[%s],\"truncated\":false,\"store_revision\":%d}"
                        .formatted(String.join(",", found), revision));
    }

    private synchronized byte[] watch(String prefix, long after, long waitMs)
            throws InterruptedException {
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<String> events =
                    history.stream()
                            .filter(change -> change.rev() > after)
                            .filter(change -> change.key().startsWith(prefix))
                            .map(Change::json)
                            .toList();
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return reply(
                        200,
                        "{\"events\":[%s],\"store_revision\":%d}"
                                .formatted(String.join(",", events), revision));
            }
            wait(leftMs);
        }
    }

    private synchronized byte[] commit(String body) {
        int puts = body.indexOf("\"puts\"");
        Matcher expected = EXPECT.matcher(body.substring(0, puts));
        while (expected.find()) {
            Item item = items.get(expected.group(1));
            long rev = item == null ? 0 : item.rev();
            if (rev != Long.parseLong(expected.group(2))) {
                return reply(412, "{\"items\":[%s]}".formatted(item == null ? "" : item.json()));
            }
        }
        revision++;
        Matcher put = PUT.matcher(body.substring(puts));
        while (put.find()) {
            write(put.group(1).replace("\\/", "/"), put.group(2).replace("\\/", "/"));
        }
        return reply(200, "{\"rev\":%d}".formatted(revision));
    }

    private static byte[] reply(int status, String json) {
        return Http.message(
                "HTTP/1.1 " + status + " X",
                Map.of("Content-Type", "application/json"),
                json.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
