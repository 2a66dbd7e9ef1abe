package org.skylarkmast.daemon.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.config.FieldFormats;

/** Checks what the JSON schema cannot express: address syntax and relations between fields. */
final class SettingsValidator {

    /** Call timeouts that must fit into one lease, so that one slow renewal does not end it. */
    private static final int MIN_CALL_TIMEOUTS_PER_LEASE = 3;

    private final List<SettingsProblem> problems = new ArrayList<>();
    private final Map<String, String> fieldByListenAddress = new HashMap<>();

    private SettingsValidator() {}

    static List<SettingsProblem> check(Settings settings) {
        SettingsValidator validator = new SettingsValidator();
        validator.checkAddresses(settings);
        validator.checkTiming(settings);
        settings.dataFolder().ifPresent(path -> validator.checkPath("dataFolder", path));
        settings.telemetry()
                .traceFile()
                .ifPresent(path -> validator.checkPath("telemetry.traceFile", path));
        return validator.problems;
    }

    private void checkAddresses(Settings settings) {
        checkListenAddress("addresses.callers", settings.addresses().callers());
        checkListenAddress("addresses.peers", settings.addresses().peers());
        checkListenAddress("addresses.administration", settings.addresses().administration());
        settings.advertisedPeerAddress()
                .ifPresent(address -> checkAddress("advertisedPeerAddress", address));
        if (isWildcard(settings.peerAddress())) {
            addProblem(
                    "advertisedPeerAddress",
                    "an address at which peers reach this host, as "
                            + settings.peerAddress()
                            + " means all of this host's",
                    "none");
        }
        List<String> endpoints = settings.store().endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            checkAddress("store.endpoints[" + i + "]", endpoints.get(i));
        }
        settings.hostList().ifPresent(list -> checkAddress("hostList.address", list.address()));
    }

    private void checkTiming(Settings settings) {
        Settings.Timing timing = settings.timing();
        if (timing.suspectAfterMs() < 2 * timing.heartbeatIntervalMs()) {
            addProblem(
                    "timing.suspectAfterMs",
                    "at least twice heartbeatIntervalMs (" + timing.heartbeatIntervalMs() + ")",
                    timing.suspectAfterMs());
        }
        Settings.Store store = settings.store();
        if (store.leaseTtlMs() < MIN_CALL_TIMEOUTS_PER_LEASE * store.callTimeoutMs()) {
            addProblem(
                    "store.leaseTtlMs",
                    "at least three times callTimeoutMs (" + store.callTimeoutMs() + ")",
                    store.leaseTtlMs());
        }
    }

    private void checkListenAddress(String field, String address) {
        if (!FieldFormats.isListenAddress(address)) {
            addProblem(field, FieldFormats.ADDRESS_FORM, address);
            return;
        }
        String other = address.endsWith(":0") ? null : fieldByListenAddress.put(address, field);
        if (other != null) {
            addProblem(field, "another address than " + other, address);
        }
    }

    private void checkAddress(String field, String address) {
        if (!FieldFormats.isAddress(address)) {
            addProblem(field, FieldFormats.ADDRESS_FORM, address);
        }
    }

    private void checkPath(String field, String text) {
        if (text.indexOf('\0') >= 0) {
            addProblem(field, "a path", text);
        }
    }

    private static boolean isWildcard(String address) {
        return address.startsWith("0.0.0.0:") || address.startsWith("[::]:");
    }

    private void addProblem(String field, String expected, Object found) {
        problems.add(new SettingsProblem(field, "expected " + expected + ", found " + found));
    }
}
