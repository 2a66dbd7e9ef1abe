/** JSON serialization of journal records, forwarded calls and configuration objects. */
package org.skylarkmast.core.json;
