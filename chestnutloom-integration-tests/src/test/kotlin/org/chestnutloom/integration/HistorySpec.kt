package org.chestnutloom.integration

import org.chestnutloom.integration.proof.HistoryProof

class HistorySpec : ProofSpec(HistoryProof())
