package org.skylarkmast.daemon.dispatch;

import org.skylarkmast.http.AbortSignal;

/** One attempt under way, so that it can be cut. */
record Attempt(String runner, AbortSignal abort) {}
