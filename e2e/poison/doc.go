// Package poison tests that a request that crashes every engine it runs on
// crashes at most two, and that concurrent requests are completed.
package poison
