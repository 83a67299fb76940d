package org.chestnutloom.integration.proof

/** Every proof that a fleet of real processes goes through. */
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
        WholeAnswerProof(),
        RacingOperatorsProof(),
        DrainProof(),
        PlannedStopProof(),
        EngineMemoryProof(),
        QuarantineProof(),
        SilentConnectionProof(),
    )
