package org.chestnutloom.edge.codec

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** Encodes and decodes values of one type as CBOR; unknown fields are ignored. */
@OptIn(ExperimentalSerializationApi::class)
public class CborCodec<T>(
    private val serializer: KSerializer<T>,
) {
    /** Encodes [value]. */
    public fun encode(value: T): ByteArray = CBOR.encodeToByteArray(serializer, value)

    /** Decodes [bytes], or returns why they are malformed. */
    public fun decode(bytes: ByteArray): Either<MalformedCbor, T> =
        try {
            CBOR.decodeFromByteArray(serializer, bytes).right()
        } catch (e: RuntimeException) {
            MalformedCbor(e.message ?: e.javaClass.simpleName).left()
        }

    private companion object {
        private val CBOR =
            Cbor {
                ignoreUnknownKeys = true
                alwaysUseByteString = true
            }
    }
}
