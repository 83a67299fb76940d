package org.chestnutloom.edge.codec

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** Turns values of one type into CBOR and back; fields that are not known are passed over. */
@OptIn(ExperimentalSerializationApi::class)
public class CborCodec<T>(
    private val serializer: KSerializer<T>,
) {
    /** Returns [value] as CBOR. */
    public fun encode(value: T): ByteArray = CBOR.encodeToByteArray(serializer, value)

    /** Decodes [bytes], or says why they are not such a value. */
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
