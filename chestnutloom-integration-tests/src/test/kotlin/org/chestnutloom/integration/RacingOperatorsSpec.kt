package org.chestnutloom.integration

import org.chestnutloom.integration.proof.RacingOperatorsProof

class RacingOperatorsSpec : ProofSpec(RacingOperatorsProof())
