package org.chestnutloom.integration

import org.chestnutloom.integration.proof.KeyStrippingProof

class KeyStrippingSpec : ProofSpec(KeyStrippingProof())
