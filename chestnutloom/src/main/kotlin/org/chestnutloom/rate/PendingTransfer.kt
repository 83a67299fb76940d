package org.chestnutloom.rate

/** A share and its tokens that a holder no longer uses because it is about to give them away. */
public data class PendingTransfer(
    public val sharePermille: Int,
    public val milliTokens: Long,
)
