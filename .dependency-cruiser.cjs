/** Layer rules: transport < protocol < coordination, and state below coordination without I/O. */
const layer = (name, from, to) => ({
  name,
  severity: 'error',
  from: { path: from },
  to: { path: to },
});

module.exports = {
  forbidden: [
    { name: 'no-cycles', severity: 'error', from: {}, to: { circular: true } },
    layer('runtime-is-lowest', '^src/runtime', '^src/(?!runtime)'),
    layer('transport-knows-no-message', '^src/transport', '^src/(?!transport|runtime)'),
    layer('protocol-above-transport', '^src/protocol', '^src/(?!protocol|transport|runtime)'),
    layer('state-is-pure', '^src/state', '^src/(?!state|runtime)'),
    layer('state-has-no-io', '^src/state', '^(node:)?(net|http|https|dgram|fs|tls)$'),
    layer('coordination-below-programs', '^src/coordination', '^src/(lab|cli|settings|edge)'),
    layer('edge-below-programs', '^src/edge', '^src/(lab|cli)'),
    layer('lab-below-cli', '^src/lab', '^src/cli'),
    layer('platform-is-imported-by-nothing', '^(src|bench|fuzz)', '^platform'),
    layer('platform-uses-no-programs', '^platform', '^src/(lab|cli|programs|operator|edge)'),
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    doNotFollow: { path: 'node_modules' },
  },
};
