package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes and decodes frames as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(Frame.serializer(), frame)

    /** Decodes [bytes], or returns why they are not a valid frame. */
    fun decode(bytes: ByteArray): Either<MalformedFrame, Frame> =
        try {
            cbor.decodeFromByteArray(Frame.serializer(), bytes).right()
        } catch (e: RuntimeException) {
            MalformedFrame("cannot decode a frame of ${bytes.size} bytes: ${e.javaClass.simpleName}").left()
        }
}
