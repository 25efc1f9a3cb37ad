"""worksmux: routes language-model requests to engines that run prefill and decode separately."""
