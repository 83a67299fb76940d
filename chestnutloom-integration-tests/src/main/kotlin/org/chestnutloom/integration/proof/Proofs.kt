package org.chestnutloom.integration.proof

/** All proofs, in the order in which they run. */
val allProofs: List<Proof> =
    listOf(
        OrderProof(),
        HistoryProof(),
        FencedOwnerProof(),
        AtMostOnceProof(),
        BudgetProof(),
        RateProof(),
        WithdrawnKeyProof(),
        KeyStrippingProof(),
        OutageProof(),
        StreamCompletenessProof(),
        RacingOperatorsProof(),
        DrainProof(),
        GracefulShutdownProof(),
        EngineMemoryProof(),
        QuarantineProof(),
        SilentConnectionProof(),
    )
