package org.skylarkmast.relay.ledger;

/**
 * Where a stream began. Another runner may continue the stream only if it belongs to the same
 * service and runs the same version of its software.
 *
 * @param softwareVersion version of the software of the runner that sent the first event
 */
public record StreamOrigin(String service, String softwareVersion) {}
