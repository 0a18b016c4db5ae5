/** The tests that run side by side. */
export default {
  files: ['dist/test/**/*.test.js', '!dist/test/clients/**'],
  timeout: '3m',
};
