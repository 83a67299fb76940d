package org.chestnutloom.integration

import org.chestnutloom.integration.proof.RateProof

class RateSpec : ProofSpec(RateProof())
