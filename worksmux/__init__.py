"""worksmux: routes language-model jobs whose prompts are read on one engine and answered on another."""
