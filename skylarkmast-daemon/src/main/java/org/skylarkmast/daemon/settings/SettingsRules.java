package org.skylarkmast.daemon.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.config.FieldFormats;

/** Checks what the schema cannot say: addresses in full and how fields go together. */
final class SettingsRules {

    /** Renewals that must fit into one lease, so that one slow answer does not end it. */
    private static final int CALLS_PER_LEASE = 3;

    private final List<SettingsProblem> problems = new ArrayList<>();
    private final Map<String, String> fieldByListenAddress = new HashMap<>();

    private SettingsRules() {}

    static List<SettingsProblem> check(Settings settings) {
        SettingsRules rules = new SettingsRules();
        rules.addresses(settings);
        rules.times(settings);
        settings.dataFolder().ifPresent(path -> rules.path("dataFolder", path));
        settings.telemetry().traceFile().ifPresent(path -> rules.path("telemetry.traceFile", path));
        return rules.problems;
    }

    private void addresses(Settings settings) {
        listen("addresses.callers", settings.addresses().callers());
        listen("addresses.peers", settings.addresses().peers());
        listen("addresses.administration", settings.addresses().administration());
        settings.advertisedPeerAddress()
                .ifPresent(address -> address("advertisedPeerAddress", address));
        if (isWildcard(settings.peerAddress())) {
            problem(
                    "advertisedPeerAddress",
                    "an address at which peers reach this host, as "
                            + settings.peerAddress()
                            + " means all of this host's",
                    "none");
        }
        List<String> endpoints = settings.store().endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            address("store.endpoints[" + i + "]", endpoints.get(i));
        }
        settings.hostList().ifPresent(list -> address("hostList.address", list.address()));
    }

    private void times(Settings settings) {
        Settings.Timing timing = settings.timing();
        if (timing.suspectAfterMs() < 2 * timing.heartbeatIntervalMs()) {
            problem(
                    "timing.suspectAfterMs",
                    "at least twice heartbeatIntervalMs (" + timing.heartbeatIntervalMs() + ")",
                    timing.suspectAfterMs());
        }
        Settings.Store store = settings.store();
        if (store.leaseTtlMs() < CALLS_PER_LEASE * store.callTimeoutMs()) {
            problem(
                    "store.leaseTtlMs",
                    "at least three times callTimeoutMs (" + store.callTimeoutMs() + ")",
                    store.leaseTtlMs());
        }
    }

    private void listen(String field, String address) {
        if (!FieldFormats.isListenAddress(address)) {
            problem(field, FieldFormats.ADDRESS_FORM, address);
            return;
        }
        String other = address.endsWith(":0") ? null : fieldByListenAddress.put(address, field);
        if (other != null) {
            problem(field, "another address than " + other, address);
        }
    }

    private void address(String field, String address) {
        if (!FieldFormats.isAddress(address)) {
            problem(field, FieldFormats.ADDRESS_FORM, address);
        }
    }

    private void path(String field, String text) {
        if (text.indexOf('\0') >= 0) {
            problem(field, "a path", text);
        }
    }

    private static boolean isWildcard(String address) {
        return address.startsWith("0.0.0.0:") || address.startsWith("[::]:");
    }

    private void problem(String field, String expected, Object found) {
        problems.add(new SettingsProblem(field, "expected " + expected + ", found " + found));
    }
}
