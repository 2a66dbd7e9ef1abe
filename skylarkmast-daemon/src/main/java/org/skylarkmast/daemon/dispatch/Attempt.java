package org.skylarkmast.daemon.dispatch;

import org.skylarkmast.http.AbortSignal;

/** An attempt in flight, with the signal that aborts it. */
record Attempt(String runner, AbortSignal abort) {}
