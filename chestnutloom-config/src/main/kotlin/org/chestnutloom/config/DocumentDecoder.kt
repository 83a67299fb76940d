package org.chestnutloom.config

import arrow.core.Either
import kotlinx.collections.immutable.ImmutableList

/** Turns the text of an environment document into settings. */
public interface DocumentDecoder {
    /** Decodes and checks [text], and lists every fault that it has. */
    public fun decode(text: String): Either<ImmutableList<DocumentFault>, EnvironmentSettings>
}
