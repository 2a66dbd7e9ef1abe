/**
 * Callers' requests over HTTP: who they are, where their program's owner is, and their answers.
 *
 * <p>State: none beyond the requests under way. Messages in: HTTP requests; out: requests to
 * owners, and answers, streamed or whole.
 */
package org.skylarkmast.daemon.entry;
