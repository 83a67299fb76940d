package org.chestnutloom.integration

import org.chestnutloom.integration.proof.QuarantineProof

class QuarantineSpec : ProofSpec(QuarantineProof())
