package org.chestnutloom.dedup

/** The result of [DeduplicationTable.claim]. */
public sealed interface Claim<out T : Any> {
    /**
     * The claim succeeded and its holder may start the call.
     *
     * @property replaced the value of the previous run that this one retries, if it was still kept
     */
    public data class Acquired<T : Any>(
        public val value: T,
        public val replaced: T? = null,
    ) : Claim<T>

    /** The call was claimed before, and [value] is the value of that claim. */
    public data class Duplicate<T : Any>(
        public val value: T,
    ) : Claim<T>

    /** The call ended and its value was dropped; only its id is kept. */
    public data object Forgotten : Claim<Nothing>

    /** The call was reported as not run and must not run. */
    public data object Fenced : Claim<Nothing>

    /** The table holds the maximum number of ids. */
    public data object TableFull : Claim<Nothing>
}
