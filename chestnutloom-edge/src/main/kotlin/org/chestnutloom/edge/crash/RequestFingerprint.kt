package org.chestnutloom.edge.crash

import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.id.ClientAccountId
import java.security.MessageDigest
import java.util.HexFormat

/** A digest of the method, path, client account and body of a request; a retried request has the same fingerprint. */
@JvmInline
internal value class RequestFingerprint(
    val value: String,
)

/** Returns the fingerprint of [request], sent with an access key of [account]. */
internal fun fingerprintOf(
    request: CallerRequest,
    account: ClientAccountId?,
): RequestFingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("${request.method} ${request.target}\n${account?.value}\n".encodeToByteArray())
    digest.update(request.body)
    return RequestFingerprint(HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES))
}

private const val FINGERPRINT_BYTES = 8
