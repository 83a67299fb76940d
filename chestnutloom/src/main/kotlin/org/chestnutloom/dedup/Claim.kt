package org.chestnutloom.dedup

/** What a [DeduplicationTable] answers to a request to run a call. */
public sealed interface Claim<out T : Any> {
    /**
     * The claimant holds the call and may start it.
     *
     * @property replaced what belonged to the run that this one repeats, if it was still kept
     */
    public data class Acquired<T : Any>(
        public val value: T,
        public val replaced: T? = null,
    ) : Claim<T>

    /** The call was claimed before, and [value] belongs to that claim. */
    public data class Duplicate<T : Any>(
        public val value: T,
    ) : Claim<T>

    /** The call ended, and nothing but its id is kept. */
    public data object Forgotten : Claim<Nothing>

    /** The call was reported as not run and must never run. */
    public data object Fenced : Claim<Nothing>

    /** The table holds as many ids as it may. */
    public data object TableFull : Claim<Nothing>
}
