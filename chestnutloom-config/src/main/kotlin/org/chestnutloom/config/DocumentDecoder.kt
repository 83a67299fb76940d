package org.chestnutloom.config

import arrow.core.Either
import kotlinx.collections.immutable.ImmutableList

/** Decodes environment documents. */
public interface DocumentDecoder {
    /** Decodes and validates [text]; returns either the settings or all faults found. */
    public fun decode(text: String): Either<ImmutableList<DocumentFault>, EnvironmentSettings>
}
