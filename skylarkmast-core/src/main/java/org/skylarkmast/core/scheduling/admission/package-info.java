/**
 * The order of queued calls.
 *
 * <p>State: {@link org.skylarkmast.core.scheduling.admission.CallQueue}, one per destination. No
 * messages of its own; the scheduler calls it from its event loop.
 */
package org.skylarkmast.core.scheduling.admission;
