package org.chestnutloom.edge.http

/** The [length] bytes of [bytes] from [offset] on. */
internal class BodySlice(
    val bytes: ByteArray,
    val offset: Int,
    val length: Int,
)
