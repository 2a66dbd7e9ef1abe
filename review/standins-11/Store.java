import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store: items, transactions and watches, without leases. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long created, long revision) {
        String json() {
            return "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%d,\"created_rev\":%d,\"lease\":0}"
                    .formatted(key, value, revision, created);
        }
    }

    private record Change(String key, long revision, String json) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final HttpServer server;
    private long revision = 1;

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress()
                + ":"
                + server.getAddress().getPort();
    }

    synchronized void put(String key, String text) {
        write(
                key,
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)),
                ++revision);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            record(key, "{\"key\":\"%s\",\"rev\":%d,\"deleted\":true}".formatted(key, revision));
        }
    }

    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null
                ? null
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void write(String key, String value, long at) {
        Item before = items.get(key);
        Item item = new Item(key, value, before == null ? at : before.created(), at);
        items.put(key, item);
        record(key, item.json());
    }

    private void record(String key, String json) {
        history.add(new Change(key, revision, json));
        notifyAll();
    }

    private void handle(HttpExchange call) throws IOException {
        byte[] body = call.getRequestBody().readAllBytes();
        Map<String, String> query = query(call.getRequestURI().getRawQuery());
        String answer = null;
        int status = 200;
        try {
            switch (call.getRequestURI().getPath()) {
                case "/-/kv-range" -> answer = range(query);
                case "/-/kv-key" -> {
                    answer = key(query.getOrDefault("key", ""));
                    status = answer == null ? 404 : 200;
                }
                case "/-/kv-watch" -> answer = watch(query);
                case "/-/kv-txn" -> {
                    Object parsed = Json.parse(new String(body, StandardCharsets.UTF_8));
                    String conflict = commit((Map<?, ?>) parsed);
                    status = conflict == null ? 200 : 412;
                    answer = conflict == null ? "{\"rev\":" + revisionNow() + "}" : conflict;
                }
                default -> status = 404;
            }
        } catch (InterruptedException e) {
            status = 503;
        }
        byte[] bytes = (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private synchronized long revisionNow() {
        return revision;
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("path_prefix", "");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        for (Item item : items.tailMap(prefix).values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                found.add(item.json());
            }
        }
        return "{\"items\":[%s],\"truncated\":false,\"store_revision\":%d}"
                .formatted(String.join(",", found), revision);
    }

    private synchronized String key(String key) {
        Item item = items.get(key);
        return item == null
                ? null
                : "{\"store_revision\":" + revision + "," + item.json().substring(1);
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("path_prefix", "");
        long after = Long.parseLong(query.get("after"));
        long endNs = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(change.json());
                }
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return "{\"events\":[%s],\"store_revision\":%d}"
                        .formatted(String.join(",", events), revision);
            }
            wait(leftMs);
        }
    }

    /** Returns null if the transaction was applied, else the present items of its conditions. */
    private synchronized String commit(Map<?, ?> txn) {
        for (Object row : (List<?>) txn.get("expect")) {
            Map<?, ?> expected = (Map<?, ?>) row;
            Item item = items.get((String) expected.get("key"));
            if ((item == null ? 0 : item.revision()) != ((Number) expected.get("rev")).longValue()) {
                return "{\"items\":[" + (item == null ? "" : item.json()) + "]}";
            }
        }
        revision++;
        for (Object row : (List<?>) txn.get("puts")) {
            Map<?, ?> put = (Map<?, ?>) row;
            write((String) put.get("key"), (String) put.get("value"), revision);
        }
        return null;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            values.put(
                    part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }
}
