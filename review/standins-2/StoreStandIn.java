import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it, without limits on calls. */
final class StoreStandIn implements AutoCloseable {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ServerSocket listener;
    private final String address;
    private long revision = 1;
    private long nextLease = 1;

    private record Item(String key, String value, long rev, long created, long lease) {
        String json() {
            return "{\"key\":" + Json.quoted(key) + ",\"value\":\"" + value + "\",\"rev\":" + rev
                    + ",\"created_rev\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(String key, long rev, String json) {}

    private record Lease(long ttlMs, long endsNs) {}

    StoreStandIn(String ip) throws IOException {
        listener = Wire.listen(ip, 0, (socket, in, out) -> {
            for (Wire.Message call = Wire.message(in); call != null; call = Wire.message(in)) {
                String[] parts = call.start().split(" ");
                String[] answer = answer(parts[0], URI.create(parts[1]), call.text());
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                Wire.write(out, "HTTP/1.1 " + answer[0] + " x\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n", body);
            }
        });
        address = ip + ":" + listener.getLocalPort();
        Thread.ofVirtual().start(this::expireLeases);
    }

    String address() {
        return address;
    }

    /** Writes an item as the operator or a runner does; returns its revision. */
    synchronized long put(String key, String value) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** Returns the value of {@code key}, or null. */
    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null
                ? null
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void write(String key, String value, long lease) {
        Item before = items.get(key);
        long created = before == null ? revision : before.created();
        Item item = new Item(key, value, revision, created, lease);
        items.put(key, item);
        history.add(new Event(key, revision, item.json()));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(key, revision,
                    "{\"key\":" + Json.quoted(key) + ",\"rev\":" + revision + ",\"deleted\":true}"));
        }
    }

    private static String parameter(URI uri, String name) {
        String query = uri.getRawQuery() == null ? "" : uri.getRawQuery();
        for (String pair : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    private synchronized String[] answer(String method, URI uri, String body)
            throws InterruptedException {
        String path = uri.getPath();
        if (path.equals("/-/kv-key")) {
            Item item = items.get(parameter(uri, "key"));
            return item == null
                    ? new String[] {"404", "{}"}
                    : new String[] {"200", item.json().replaceAll("}$", ",\"store_revision\":" + revision + "}")};
        }
        if (path.equals("/-/kv-range")) {
            StringBuilder found = new StringBuilder();
            for (Item item : items.tailMap(parameter(uri, "after"), false).values()) {
                if (item.key().startsWith(parameter(uri, "path_prefix"))) {
                    found.append(found.isEmpty() ? "" : ",").append(item.json());
                }
            }
            return new String[] {"200", "{\"items\":[" + found + "],\"truncated\":false,\"store_revision\":" + revision + "}"};
        }
        if (path.equals("/-/kv-watch")) {
            long after = Long.parseLong(parameter(uri, "after"));
            long endNs = System.nanoTime() + Long.parseLong(parameter(uri, "wait_ms")) * 1_000_000;
            String prefix = parameter(uri, "path_prefix");
            while (true) {
                StringBuilder events = new StringBuilder();
                for (int i = history.size() - 1; i >= 0 && history.get(i).rev() > after; i--) {
                    if (history.get(i).key().startsWith(prefix)) {
                        events.insert(0, history.get(i).json() + (events.isEmpty() ? "" : ","));
                    }
                }
                long leftMs = (endNs - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || leftMs <= 0) {
                    return new String[] {"200", "{\"events\":[" + events + "],\"store_revision\":" + revision + "}"};
                }
                wait(leftMs);
            }
        }
        if (path.equals("/-/kv-txn")) {
            return commit(Json.object(body));
        }
        if (path.equals("/-/kv-lease")) {
            long ttlMs = Math.max(1000, ((Double) Json.object(body).get("ttl_ms")).longValue());
            long id = nextLease++;
            leases.put(id, new Lease(ttlMs, System.nanoTime() + ttlMs * 1_000_000));
            return new String[] {"200", "{\"lease\":" + id + ",\"ttl_ms\":" + ttlMs + "}"};
        }
        if (path.startsWith("/-/kv-keep/")) {
            long id = Long.parseLong(path.substring("/-/kv-keep/".length()));
            Lease lease = leases.get(id);
            if (lease == null) {
                return new String[] {"404", "{}"};
            }
            leases.put(id, new Lease(lease.ttlMs(), System.nanoTime() + lease.ttlMs() * 1_000_000));
            return new String[] {"200", "{\"lease\":" + id + ",\"ttl_ms\":" + lease.ttlMs() + "}"};
        }
        if (path.startsWith("/-/kv-lease-end/")) {
            end(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
            return new String[] {"200", "{}"};
        }
        return new String[] {"404", "{}"};
    }

    @SuppressWarnings("unchecked")
    private String[] commit(Map<String, Object> txn) {
        boolean holds = true;
        StringBuilder current = new StringBuilder();
        for (Object row : (List<Object>) txn.getOrDefault("expect", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = items.get((String) expected.get("key"));
            holds &= (item == null ? 0 : item.rev()) == ((Double) expected.get("rev")).longValue();
            if (item != null) {
                current.append(current.isEmpty() ? "" : ",").append(item.json());
            }
        }
        if (!holds) {
            return new String[] {"412", "{\"items\":[" + current + "]}"};
        }
        List<Object> puts = (List<Object>) txn.getOrDefault("puts", List.of());
        for (Object row : puts) {
            long lease = ((Double) ((Map<String, Object>) row).getOrDefault("lease", 0.0)).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new String[] {"404", "{}"};
            }
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            write((String) put.get("key"), (String) put.get("value"),
                    ((Double) put.getOrDefault("lease", 0.0)).longValue());
        }
        for (Object key : (List<Object>) txn.getOrDefault("deletes", List.of())) {
            remove((String) key);
        }
        notifyAll();
        return new String[] {"200", "{\"rev\":" + revision + "}"};
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream().filter(i -> i.lease() == id).map(Item::key).toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void expireLeases() {
        while (!listener.isClosed()) {
            synchronized (this) {
                for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
                    if (System.nanoTime() - lease.getValue().endsNs() > 0) {
                        end(lease.getKey());
                    }
                }
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
