package org.chestnutloom.gateway.body

import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ClientAccountId
import java.security.MessageDigest
import java.util.HexFormat

/** Returns SHA-256 of the JSON text of [body], in hexadecimal. */
internal fun contentHash(body: JsonElement): String = sha256(body.toString())

/** Returns the hash of [account] and [body] by which crashes of targets are counted. */
internal fun crashHash(
    account: ClientAccountId?,
    body: String,
): String = sha256("${account?.value.orEmpty()}\n$body")

/** Returns SHA-256 of the UTF-8 bytes of [text], in hexadecimal. */
internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
