import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
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

/**
 * Stand-in of the platform's metadata store: items, pages, watches, transactions and leases without
 * expiry. It never fails. Thread-safe.
 */
final class Platform implements AutoCloseable {
    private static final int MAX_PAGE = 500;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final HttpServer server;
    private long revision = 1;
    private long nextLease = 1;

    private record Item(String key, String value, long created, long revision) {
        String json() {
            return "{\"key\":%s,\"value\":\"%s\",\"rev\":%d,\"created_rev\":%d,\"lease\":0}"
                    .formatted(Json.quote(key), value, revision, created);
        }
    }

    private record Change(String key, long revision, String json) {}

    private record Reply(int status, String body) {}

    Platform(String ip) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), 0), 64);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress()
                + ":"
                + server.getAddress().getPort();
    }

    /** Writes an item as the operator, a runner or another writer does. */
    synchronized void put(String key, String text) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Removes an item as the platform does with the entry of a runner that has left. */
    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            String json =
                    "{\"key\":%s,\"rev\":%d,\"deleted\":true}"
                            .formatted(Json.quote(key), revision);
            history.add(new Change(key, revision, json));
            notifyAll();
        }
    }

    synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void write(String key, String value) {
        Item before = items.get(key);
        Item item = new Item(key, value, before == null ? revision : before.created(), revision);
        items.put(key, item);
        history.add(new Change(key, revision, item.json()));
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Reply reply;
        try {
            reply = respond(exchange, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reply = new Reply(503, "{}");
        }
        byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private Reply respond(HttpExchange exchange, byte[] body) throws InterruptedException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String prefix = query.getOrDefault("path_prefix", "");
        if (path.equals("/-/kv-key")) {
            return key(query.getOrDefault("key", ""));
        } else if (path.equals("/-/kv-range")) {
            return range(prefix, query.getOrDefault("after", ""));
        } else if (path.equals("/-/kv-watch")) {
            long waitMs = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
            return watch(prefix, Long.parseLong(query.get("after")), waitMs);
        } else if (path.equals("/-/kv-txn")) {
            return commit(Json.parse(new String(body, StandardCharsets.UTF_8)));
        } else if (path.equals("/-/kv-lease")) {
            return lease(Json.parse(new String(body, StandardCharsets.UTF_8)));
        }
        return new Reply(404, "{}");
    }

    private synchronized Reply key(String key) {
        Item item = items.get(key);
        return item == null ? new Reply(404, "{}") : new Reply(200, item.json());
    }

    private synchronized Reply range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean truncated = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
                continue;
            }
            if (page.size() == MAX_PAGE) {
                truncated = true;
                break;
            }
            page.add(item.json());
        }
        return new Reply(
                200,
                "{\"items\":[%s],\"truncated\":%s,\"store_revision\":%d}"
                        .formatted(String.join(",", page), truncated, revision));
    }

    private synchronized Reply watch(String prefix, long after, long waitMs)
            throws InterruptedException {
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(change.json());
                }
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return new Reply(
                        200,
                        "{\"events\":[%s],\"store_revision\":%d}"
                                .formatted(String.join(",", events), revision));
            }
            wait(leftMs);
        }
    }

    private synchronized Reply commit(Object txn) {
        for (Object expected : Json.list(Json.get(txn, "expect"))) {
            Item item = items.get((String) Json.get(expected, "key"));
            long wanted = ((Number) Json.get(expected, "rev")).longValue();
            if ((item == null ? 0 : item.revision()) != wanted) {
                return new Reply(
                        412, "{\"items\":[%s]}".formatted(item == null ? "" : item.json()));
            }
        }
        List<Object> puts = Json.list(Json.get(txn, "puts"));
        for (Object put : puts) {
            String key = (String) Json.get(put, "key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return new Reply(403, "{}");
            }
        }
        revision++;
        for (Object put : puts) {
            write((String) Json.get(put, "key"), (String) Json.get(put, "value"));
        }
        return new Reply(200, "{\"rev\":%d}".formatted(revision));
    }

    private synchronized Reply lease(Object asked) {
        return new Reply(
                200,
                "{\"lease\":%d,\"ttl_ms\":%s}".formatted(nextLease++, Json.get(asked, "ttl_ms")));
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, Math.max(0, equals)),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
