package org.chestnutloom.config

import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 hash of the UTF-8 bytes of [document] in hexadecimal. */
public fun digest(document: String): String {
    val hash = MessageDigest.getInstance("SHA-256").digest(document.encodeToByteArray())
    return HexFormat.of().formatHex(hash)
}
