package org.chestnutloom.gateway.body

import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ClientAccountId
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the hexadecimal SHA-256 digest of the JSON text of [body]. */
internal fun contentHash(body: JsonElement): String = sha256(body.toString())

/** Returns the hash of [account] and [body] under which the crash history counts target crashes. */
internal fun crashHash(
    account: ClientAccountId?,
    body: String,
): String = sha256("${account?.value.orEmpty()}\n$body")

/** Returns the hexadecimal SHA-256 digest of [text], encoded in UTF-8. */
internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
