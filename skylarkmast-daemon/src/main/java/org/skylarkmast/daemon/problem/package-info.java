/**
 * Error responses of all HTTP ports, as problem details (RFC 9457).
 *
 * <p>State: none. Messages: {@link org.skylarkmast.daemon.problem.ProblemReply} out.
 */
package org.skylarkmast.daemon.problem;
