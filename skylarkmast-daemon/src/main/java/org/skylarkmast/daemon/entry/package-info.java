/**
 * Entry of callers' requests over HTTP: authentication, forwarding to the owner of the program, and
 * answers.
 *
 * <p>State: none beyond the requests in progress. Messages in: HTTP requests; out: requests to
 * owners, and answers, streamed or complete.
 */
package org.skylarkmast.daemon.entry;
