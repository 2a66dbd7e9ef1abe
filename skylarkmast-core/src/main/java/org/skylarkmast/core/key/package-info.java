/** Identities shared by the slices. */
package org.skylarkmast.core.key;
