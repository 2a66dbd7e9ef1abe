import java.nio.file.Path;

/** What the cases have in common: the configuration, the exit code and the time limit. */
final class Cases {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final String LIMITS =
            "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

    private Cases() {}

    /** A case; returns whether the rule held. */
    interface Body {
        boolean run(Lab lab, boolean trouble) throws Exception;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Runs a case and ends this process with its exit code, after 115 s at the latest. */
    static void run(String recordFile, Body body) {
        Thread.ofPlatform()
                .daemon()
                .start(
                        () -> {
                            try {
                                Thread.sleep(115_000);
                            } catch (InterruptedException e) {
                                return;
                            }
                            System.err.println("the case did not end in time");
                            System.exit(NOT_RUN);
                        });
        int code = NOT_RUN;
        try (Lab lab = new Lab(Path.of(recordFile))) {
            code = body.run(lab, trouble()) ? HELD : BROKEN;
            lab.log(code == HELD ? "the rule held" : "the rule was broken");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    static String route(String name, String prefix, String kind, int timeoutMs, String rest) {
        return """
        {"name":"%s","host":"h.example","path_prefix":"%s","route_type":"%s","timeout_ms":%d,\
        "target_latency_ms":250,"priority":1%s}"""
                .formatted(name, prefix, kind, timeoutMs, rest);
    }

    static String configuration(int version, String services, String... routes) {
        return """
        {"version":%d,"routes":[%s],"services":[%s],"limits":%s}"""
                .formatted(version, String.join(",", routes), services, LIMITS);
    }

    static String service(String name, int tokensPerEvent) {
        String engine =
                tokensPerEvent == 0
                        ? ""
                        : ",\"engine\":{\"slots\":16,\"tokens_per_event\":%d}"
                                .formatted(tokensPerEvent);
        return "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_connections\":160%s}"
                .formatted(name, engine);
    }
}
