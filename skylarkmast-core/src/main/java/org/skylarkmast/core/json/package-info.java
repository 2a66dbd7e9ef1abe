/** The one JSON codec for journal records, forwarded calls and objects. */
package org.skylarkmast.core.json;
