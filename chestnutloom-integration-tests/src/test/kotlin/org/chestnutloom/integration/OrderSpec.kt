package org.chestnutloom.integration

import org.chestnutloom.integration.proof.OrderProof

class OrderSpec : ProofSpec(OrderProof())
