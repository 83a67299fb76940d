package org.chestnutloom.integration

import org.chestnutloom.integration.proof.WithdrawnKeyProof

class WithdrawnKeySpec : ProofSpec(WithdrawnKeyProof())
