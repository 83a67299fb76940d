package org.chestnutloom.rate

/** A share and its tokens that a holder has stopped using in order to transfer them to another holder. */
public data class PendingTransfer(
    public val sharePermille: Int,
    public val milliTokens: Long,
)
