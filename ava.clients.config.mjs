/** The tests of crowds of clients: one at a time, apart from the others. */
export default {
  files: ['dist/test/clients/**/*.test.js'],
  timeout: '3m',
  concurrency: 1,
  serial: true,
};
